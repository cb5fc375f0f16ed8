#pragma once

#include "Kernel/Clock.h"
#include "Mesh/MeshHandlers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

namespace MeshWire
{
struct Frame;
}

/// Encodes and decodes the frames of placement. See MeshCodec.
class PlacementFrames
{
public:
    using Bytes = std::vector<std::uint8_t>;

    static Bytes queries(const std::vector<PlacementQuery> &queries);
    static Bytes answers(const std::vector<PlacementAnswer> &answers);
    static Bytes reports(const std::vector<PlacementReport> &reports);
    static Bytes totals(const std::string &service, const std::vector<PlacementTotal> &totals);

    /// Decode one type of frame and call its handler. Return false if a value is out of range.
    static bool decodeQueries(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
    static bool decodeAnswers(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
    static bool decodeReports(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
    static bool decodeTotals(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
};

} // namespace Guavalock
