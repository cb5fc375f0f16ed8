#include "Platform/ClaimService.h"

#include "Flow/Cancellation.h"
#include "Flow/OneShot.h"
#include "Flow/PipelineResponse.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Pipeline/DaemonContext.h"
#include "Platform/LogRecords.h"
#include "Platform/LogWriter.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds retryDelay{500};

using Verdict = ClaimLedger::Verdict;

Refusal makeRefusal(ResultCode code, RunState run)
{
    Refusal refusal{code, run, std::string(resultCodeInfo(code).meaning), std::nullopt};
    if (run == RunState::No) {
        refusal.retryAfter = retryDelay;
    }
    return refusal;
}

} // namespace

ClaimService::ClaimService(const DaemonContext &context, LogWriter &writer)
    : m_context(context)
    , m_writer(writer)
    , m_keys(keyRetention)
    , m_follower(context, LogRecords::keyStream, [this](const PlatformLog::Batch &batch) { processBatch(batch); })
{
}

void ClaimService::start()
{
    m_follower.start(0);
}

std::string ClaimService::newClaimId()
{
    return m_context.incarnation + ".k" + std::to_string(++m_claims);
}

Asio::awaitable<bool> ClaimService::claim(const std::string &key, Clock::WallTime issued, Clock::TimePoint deadline,
                                          Cancellation &cancellation, PipelineResponse &answer)
{
    const std::string claimId = newClaimId();
    const auto decided = std::make_shared<OneShot<Verdict>>(cancellation.strand());
    std::shared_ptr<const PipelineResponse> storedAnswer;
    const KeyTable::Status standing = m_keys.beginClaim(
        key, claimId, [decided](Verdict verdict) { decided->set(verdict); }, storedAnswer);
    switch (standing) {
    case KeyTable::Status::Answered:
        m_context.metrics.counter("keys_answered_again_total").add();
        answer = *storedAnswer;
        co_return false;
    case KeyTable::Status::InProgress:
        answer.refusal = makeRefusal(ResultCode::KeyInUse, RunState::Unknown);
        co_return false;
    case KeyTable::Status::HeldElsewhere:
        answer.refusal = makeRefusal(ResultCode::KeyOutcomeUnknown, RunState::Unknown);
        co_return false;
    case KeyTable::Status::Free:
        break;
    }
    const Clock::TimePoint claimDeadline = std::min(deadline, m_context.clock.now() + claimTimeout);
    const ClaimLedger::Claim claim{claimId, key, m_context.incarnation, issued};
    m_writer.append(LogWriter::Priority::Keys, LogRecords::keyStream, {claimId, LogRecords::write(claim)}, claimDeadline);
    const std::optional<Verdict> verdict = co_await decided->wait(claimDeadline, cancellation);
    if (verdict == Verdict::Won) {
        co_return true;
    }
    if (!verdict) {
        abandonClaim(key, claimId);
        answer.refusal = makeRefusal(ResultCode::KeyNotClaimed, RunState::No);
        co_return false;
    }
    answer.refusal = makeRefusal(ResultCode::KeyOutcomeUnknown, RunState::Unknown);
    co_return false;
}

void ClaimService::abandonClaim(const std::string &key, const std::string &claimId)
{
    m_context.metrics.counter("key_claims_given_up_total").add();
    m_writer.withdraw(claimId, [this, key, claimId](bool neverAppended) {
        if (m_keys.abandonClaim(key, neverAppended)) {
            release(key, claimId);
        }
    });
}

void ClaimService::storeResponse(const std::string &key, const PipelineResponse &answer)
{
    if (const std::optional<std::string> claimId = m_keys.completeRun(key, std::make_shared<PipelineResponse>(answer))) {
        release(key, *claimId);
    }
}

void ClaimService::release(const std::string &key, const std::string &claimId)
{
    const Clock::TimePoint expiry = m_context.clock.now() + keyRetention;
    m_writer.append(LogWriter::Priority::Keys, LogRecords::keyStream,
                    {claimId + ".r", LogRecords::write(LogRecords::Release{key, claimId})}, expiry);
}

void ClaimService::processBatch(const PlatformLog::Batch &batch)
{
    for (const PlatformLog::Record &it : batch.records) {
        m_writer.confirm(it.id);
        if (const std::optional<ClaimLedger::Claim> claim = LogRecords::parseClaim(it.id, it.data)) {
            if (m_keys.applyClaim(*claim, it.time)) {
                release(claim->key, claim->id);
            }
        } else if (const std::optional<LogRecords::Release> released = LogRecords::parseRelease(it.data)) {
            m_keys.applyRelease(released->key, released->claimId);
        }
    }
}

} // namespace Guavalock
