#include "Settings/SettingsValue.h"

#include <array>
#include <charconv>
#include <string_view>

namespace Guavalock
{

namespace
{

struct DurationUnit {
    std::string_view name;
    std::chrono::milliseconds length;
};

constexpr std::array durationUnits = {
    DurationUnit{"ms", std::chrono::milliseconds(1)},
    DurationUnit{"s", std::chrono::seconds(1)},
    DurationUnit{"min", std::chrono::minutes(1)},
    DurationUnit{"h", std::chrono::hours(1)},
};

constexpr std::int64_t maxDurationCount = 1'000'000;

template <class Number>
bool readNumber(const SettingsNode &node, Number &value, const std::string &expected, SettingsErrors &errors)
{
    const std::string &text = node.yaml().IsScalar() ? node.yaml().Scalar() : std::string();
    Number number{};
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || rest != text.data() + text.size()) {
        errors.push_back(node.error(expected));
        return false;
    }
    value = number;
    return true;
}

} // namespace

bool readSetting(const SettingsNode &node, std::string &value, SettingsErrors &errors)
{
    if (!node.yaml().IsScalar()) {
        errors.push_back(node.error("a string"));
        return false;
    }
    value = node.yaml().Scalar();
    return true;
}

bool readSetting(const SettingsNode &node, bool &value, SettingsErrors &errors)
{
    const std::string &text = node.yaml().IsScalar() ? node.yaml().Scalar() : std::string();
    if (text != "true" && text != "false") {
        errors.push_back(node.error("true or false"));
        return false;
    }
    value = text == "true";
    return true;
}

bool readSetting(const SettingsNode &node, std::size_t &value, SettingsErrors &errors)
{
    return readNumber(node, value, "a non-negative integer", errors);
}

bool readSetting(const SettingsNode &node, double &value, SettingsErrors &errors)
{
    return readNumber(node, value, "a number", errors);
}

bool readSetting(const SettingsNode &node, Endpoint &value, SettingsErrors &errors)
{
    const std::optional<Endpoint> endpoint = node.yaml().IsScalar() ? Endpoint::parse(node.yaml().Scalar()) : std::nullopt;
    if (!endpoint) {
        errors.push_back(node.error("an IP address and port, such as 127.0.0.1:8080"));
        return false;
    }
    value = *endpoint;
    return true;
}

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || number < 0 || number > maxDurationCount) {
        return std::nullopt;
    }
    for (const DurationUnit &it : durationUnits) {
        if (std::string_view(rest, end) == it.name) {
            return number * it.length;
        }
    }
    return std::nullopt;
}

bool readSetting(const SettingsNode &node, std::chrono::milliseconds &value, SettingsErrors &errors)
{
    const std::optional<std::chrono::milliseconds> duration = node.yaml().IsScalar() ? parseDuration(node.yaml().Scalar()) : std::nullopt;
    if (!duration) {
        errors.push_back(node.error("an integer with a unit of ms, s, min or h, such as 300ms"));
        return false;
    }
    value = *duration;
    return true;
}

} // namespace Guavalock
