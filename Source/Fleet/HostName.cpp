#include "Fleet/HostName.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <locale>
#include <utility>

namespace Guavalock
{

HostName::HostName(std::string text)
    : m_text(std::move(text))
    , m_comparedForm(boost::algorithm::to_lower_copy(m_text, std::locale::classic()))
{
}

std::optional<HostName> HostName::parse(std::string_view text)
{
    HostName name(std::string(text.substr(0, text.find(':'))));
    if (name.isEmpty()) {
        return std::nullopt;
    }
    name.m_text = text;
    return name;
}

const std::string &HostName::text() const
{
    return m_text;
}

bool HostName::isEmpty() const
{
    return m_text.empty();
}

bool HostName::operator==(const HostName &other) const
{
    return m_comparedForm == other.m_comparedForm;
}

bool HostName::operator<(const HostName &other) const
{
    return m_comparedForm < other.m_comparedForm;
}

} // namespace Guavalock
