#include "Rollout/VerdictConfirmation.h"

namespace Guavalock
{

VersionVerdict VerdictConfirmation::confirm(VersionVerdict verdict, std::uint64_t badResponses, Clock::TimePoint now)
{
    if (verdict.kind != VersionVerdict::Kind::Bad) {
        m_suspicion.reset();
        return verdict;
    }
    if (badResponses >= enoughBad) {
        return verdict;
    }
    if (!m_suspicion) {
        m_suspicion = {now, badResponses};
    }
    if (now >= m_suspicion->since + confirmationTime) {
        if (badResponses >= m_suspicion->badResponses + moreBad) {
            return verdict;
        }
        m_suspicion = {now, badResponses};
    }
    verdict.kind = VersionVerdict::Kind::NotEnoughSeen;
    return verdict;
}

} // namespace Guavalock
