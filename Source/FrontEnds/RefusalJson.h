#pragma once

#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

/// A refusal in the form of the callers' interface: code, name, reason, run and retry_after_ms.
class RefusalJson
{
public:
    static boost::json::object of(const Refusal &refusal, const std::string &requestId);
};

} // namespace Guavalock
