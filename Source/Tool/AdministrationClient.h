#pragma once

#include "Kernel/Reason.h"
#include "Settings/Endpoint.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Blocking client for a daemon's administration interface.
class AdministrationClient
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    explicit AdministrationClient(Endpoint daemon);

    /// Returns the response as JSON, or nothing and sets a reason that suggests a remedy.
    std::optional<boost::json::value> get(const std::string &resource, Reason &reason) const;
    std::optional<boost::json::value> put(const std::string &resource, const std::string &body, const Headers &headers,
                                          Reason &reason) const;
    std::optional<boost::json::value> remove(const std::string &resource, const Headers &headers, Reason &reason) const;

    const Endpoint &daemon() const;

private:
    std::optional<boost::json::value> call(const std::string &method, const std::string &resource, const std::string &body,
                                           const Headers &headers, Reason &reason) const;

    Endpoint m_daemon;
};

} // namespace Guavalock
