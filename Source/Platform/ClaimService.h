#pragma once

#include "Pipeline/KeyClaims.h"
#include "Platform/LogFollower.h"
#include "Tables/KeyTable.h"

#include <atomic>

namespace Guavalock
{

class LogWriter;

/// Claims idempotency keys through the log. Of all claims of a key, only the first in log order may ever run the request.
class ClaimService : public KeyClaims
{
public:
    ClaimService(const DaemonContext &context, LogWriter &writer);

    void start();

    boost::asio::awaitable<bool> claim(const std::string &key, Clock::WallTime issued, Clock::TimePoint deadline,
                                       Cancellation &cancellation, PipelineResponse &answer) override;
    void storeResponse(const std::string &key, const PipelineResponse &answer) override;

private:
    static constexpr std::chrono::seconds keyRetention{3600};
    static constexpr std::chrono::milliseconds claimTimeout{3'000};

    void processBatch(const PlatformLog::Batch &batch);
    void release(const std::string &key, const std::string &claimId);
    void abandonClaim(const std::string &key, const std::string &claimId);
    std::string newClaimId();

    const DaemonContext &m_context;
    LogWriter &m_writer;
    KeyTable m_keys;
    LogFollower m_follower;
    std::atomic<std::uint64_t> m_claims{0};
};

} // namespace Guavalock
