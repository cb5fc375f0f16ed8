#include "Site/EvidenceRelay.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Guavalock
{

namespace
{

/// Upper bounds of the encoded size of an entry, without texts and contents, with its offset, its table of fields and alignment.
constexpr std::size_t crashBytes = 96;
constexpr std::size_t responseBytes = 32;
constexpr std::size_t quarantineBytes = 48;
constexpr std::size_t limitBytes = 80;
constexpr std::size_t frameBytes = 512; ///< Of the rest of a frame.

std::size_t encodedBytes(const CrashReport &it)
{
    return crashBytes + it.address.size() + it.contents.size() * sizeof(std::uint64_t);
}

std::size_t encodedBytes(const ContentEvidence::Response &)
{
    return responseBytes;
}

std::size_t encodedBytes(const ContentEvidence::Quarantine &)
{
    return quarantineBytes;
}

std::size_t encodedBytes(const LimitReport &it)
{
    return limitBytes + it.target.size();
}

/// Fills frames one after the other.
class FrameFiller
{
public:
    template <class Entry>
    void add(const std::vector<Entry> &entries, std::vector<Entry> &(*listOf)(Evidence &))
    {
        for (const Entry &it : entries) {
            const std::size_t n = encodedBytes(it);
            if (m_frames.empty() || m_bytes + n > EvidenceRelay::maxFrameBytes) {
                m_frames.emplace_back();
                m_bytes = frameBytes;
            }
            m_bytes += n;
            listOf(m_frames.back()).push_back(it);
        }
    }

    std::vector<Evidence> take()
    {
        return std::move(m_frames);
    }

private:
    std::vector<Evidence> m_frames;
    std::size_t m_bytes = 0;
};

/// Appends entries to a list while there is room.
template <class Entry>
void appendWithin(std::size_t &left, const std::vector<Entry> &entries, std::vector<Entry> &list)
{
    for (const Entry &it : entries) {
        const std::size_t n = encodedBytes(it);
        if (n > left) {
            return;
        }
        left -= n;
        list.push_back(it);
    }
}

} // namespace

EvidenceRelay::EvidenceRelay(std::string vm, std::string incarnation)
    : m_vm(std::move(vm))
    , m_incarnation(std::move(incarnation))
{
}

bool EvidenceRelay::accept(const EvidenceOrigin &origin, const std::string &from, Clock::TimePoint now)
{
    if (origin.empty()) {
        return true;
    }
    if (origin.vm == m_vm && origin.incarnation == m_incarnation) {
        return false;
    }
    if (m_seen.insert(origin, now)) {
        return true;
    }
    const auto kept = std::ranges::find_if(m_forwards, [&](const Forward &it) { return it.evidence.origin == origin; });
    if (kept != m_forwards.end()) {
        kept->knownBy.insert(from);
    }
    return false;
}

void EvidenceRelay::forward(const Evidence &evidence, const std::string &from)
{
    m_forwards.push_back({evidence, {from, evidence.origin.vm}});
}

std::vector<EvidenceRelay::Forward> EvidenceRelay::takeForwards()
{
    return std::exchange(m_forwards, {});
}

std::vector<Evidence> EvidenceRelay::number(const Evidence &evidence)
{
    FrameFiller filler;
    // Crashes come first, because responses are news only if their crash is known.
    filler.add<CrashReport>(
        evidence.content.crashes, [](Evidence & it) -> auto & { return it.content.crashes; });
    filler.add<ContentEvidence::Response>(
        evidence.content.responses, [](Evidence & it) -> auto & { return it.content.responses; });
    filler.add<ContentEvidence::Quarantine>(
        evidence.content.quarantines, [](Evidence & it) -> auto & { return it.content.quarantines; });
    filler.add<LimitReport>(
        evidence.limits, [](Evidence & it) -> auto & { return it.limits; });
    std::vector<Evidence> frames = filler.take();
    for (Evidence &it : frames) {
        it.origin = {m_vm, m_incarnation, ++m_lastNumber};
    }
    return frames;
}

Evidence EvidenceRelay::limitSnapshot(const Evidence &evidence)
{
    Evidence limited;
    std::size_t left = maxSnapshotBytes - frameBytes;
    appendWithin(left, evidence.content.quarantines, limited.content.quarantines);
    appendWithin(left, evidence.limits, limited.limits);
    std::map<std::uint64_t, ContentEvidence::Response> responses;
    for (const ContentEvidence::Response &it : evidence.content.responses) {
        responses.insert_or_assign(it.content, it);
    }
    std::vector<const CrashReport *> newest;
    for (const CrashReport &it : evidence.content.crashes) {
        newest.push_back(&it);
    }
    std::ranges::stable_sort(newest, std::ranges::greater(), &CrashReport::at);
    for (const CrashReport *crash : newest) {
        std::vector<ContentEvidence::Response> added;
        for (const std::uint64_t it : crash->contents) {
            if (const auto response = responses.find(it); response != responses.end()) {
                added.push_back(response->second);
            }
        }
        const std::size_t n = encodedBytes(*crash) + added.size() * responseBytes;
        if (n > left) {
            break;
        }
        left -= n;
        limited.content.crashes.push_back(*crash);
        for (const ContentEvidence::Response &it : added) {
            limited.content.responses.push_back(it);
            responses.erase(it.content);
        }
    }
    std::ranges::reverse(limited.content.crashes);
    return limited;
}

} // namespace Guavalock
