#include "Fleet/Catalogue.h"
#include "PlatformRecordCodec.h"
#include "StoreDecoder.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace Guavalock
{

namespace
{

using Decoder = void (*)(const std::string &text);

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void decodePage(const std::string &text)
{
    StoreDecoder::decodePage(text);
}

void decodeLog(const std::string &text)
{
    const auto records = StoreDecoder::decodeLog(text, 7);
    require(!records || records->size() <= text.size());
}

void decodeTarget(const std::string &text)
{
    Reason reason;
    const auto target = PlatformRecordCodec().target("i-1", text, reason);
    require(target ? target->coldRemaining.count() >= 0 && target->startTime.count() >= 0 && target->address.port != 0
                   : !reason.text.empty());
    PlatformRecordCodec().revision(Topic::Targets, "i-1", text);
}

void decodeConfiguration(const std::string &text)
{
    Reason reason;
    const auto change = PlatformRecordCodec().operatorChange("config", text, reason);
    require(change || !reason.text.empty());
    if (change) {
        std::get<std::shared_ptr<const Catalogue>>(*change)->route(HostName("h"), "/a/b");
    }
}

void decodeMember(const std::string &text)
{
    Reason reason;
    require(PlatformRecordCodec().member("vm", text, reason) || !reason.text.empty());
}

constexpr std::array<Decoder, 5> decoders{decodePage, decodeLog, decodeTarget, decodeConfiguration, decodeMember};

} // namespace

} // namespace Guavalock

/// Feeds an input to one of the decoders of records. Its first byte selects which.
// NOLINTNEXTLINE(readability-identifier-naming): the name that the engine calls
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size > 0) {
        const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
        Guavalock::decoders.at(data[0] % Guavalock::decoders.size())(text);
    }
    return 0;
}
