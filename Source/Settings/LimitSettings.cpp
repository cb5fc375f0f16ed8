#include "Settings/LimitSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

using std::chrono::milliseconds;

const FieldTable<LimitSettings> &LimitSettings::fields()
{
    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t mebibyte = 1024 * kibibyte;
    static const FieldTable<LimitSettings> table = [] {
        FieldTable<LimitSettings> it;
        it.optional("header_bytes", &LimitSettings::headerBytes, between<std::size_t>(kibibyte, mebibyte));
        it.optional("body_bytes", &LimitSettings::bodyBytes, between<std::size_t>(kibibyte, 64 * mebibyte));
        it.optional("connections", &LimitSettings::connections, between<std::size_t>(1, 100'000));
        it.optional("requests", &LimitSettings::requests, between<std::size_t>(1, 100'000));
        it.optional("receive_timeout", &LimitSettings::receiveTimeout, between(milliseconds(10), milliseconds(600'000)));
        it.optional("idle_timeout", &LimitSettings::idleTimeout, between(milliseconds(10), milliseconds(3'600'000)));
        it.optional("deadline_max", &LimitSettings::deadlineMax, between(milliseconds(1), milliseconds(3'600'000)));
        it.optional("stop_timeout", &LimitSettings::stopTimeout, between(milliseconds(10), milliseconds(3'600'000)));
        return it;
    }();
    return table;
}

} // namespace Guavalock
