#pragma once

#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

/// The client API's JSON representation of a refusal: code, name, reason, run and retry_after_ms.
class RefusalJson
{
public:
    static boost::json::object fromRefusal(const Refusal &refusal, const std::string &requestId);
};

} // namespace Guavalock
