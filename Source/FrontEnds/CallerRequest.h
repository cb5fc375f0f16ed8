#pragma once

#include "Flow/PipelineRequest.h"
#include "Kernel/Refusal.h"

#include <chrono>
#include <optional>

namespace Guavalock
{

class HttpExchange;

/// Converts a client's HTTP request to a PipelineRequest.
class CallerRequest
{
public:
    static constexpr const char *organisationHeader = "X-Organisation";
    static constexpr const char *classHeader = "X-Class";
    static constexpr const char *deadlineHeader = "X-Deadline-Ms";
    static constexpr const char *keyHeader = "Idempotency-Key";
    static constexpr const char *issuedHeader = "Idempotency-Issued";

    /// Returns the request, or nullopt after setting the refusal.
    static std::optional<PipelineRequest> parse(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, Refusal &refusal);
};

} // namespace Guavalock
