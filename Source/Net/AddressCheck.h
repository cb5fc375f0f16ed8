#pragma once

#include "Settings/Endpoint.h"

#include <boost/system/error_code.hpp>

#include <optional>
#include <vector>

namespace Guavalock
{

/// Finds addresses on which no server can listen yet.
class AddressCheck
{
public:
    struct Unavailable {
        Endpoint address;
        boost::system::error_code reason;
    };

    /// Returns the first address that another socket uses or that the VM does not have, or nothing.
    static std::optional<Unavailable> findUnavailable(const std::vector<Endpoint> &addresses);
};

} // namespace Guavalock
