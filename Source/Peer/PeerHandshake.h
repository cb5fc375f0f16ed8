#pragma once

#include "Peer/FrameBuilder.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

class FrameChannel;
struct Services;

/// Makes both ends of a new connection prove that they hold a shared key.
///
/// Each end sends a hello with a random nonce, then an HMAC-SHA-256 over its role, both nonces and both names.
class PeerHandshake
{
public:
    enum class Role : std::uint8_t {
        Dialler = 1,
        Listener = 2,
    };

    static constexpr std::chrono::milliseconds timeout{2'000};

    /// Returns the peer's hello, or nothing when it gave no valid proof within the timeout. Runs on the channel's strand.
    static boost::asio::awaitable<std::optional<FrameBuilder::Hello>> run(const Services &services, FrameChannel &channel, Role role);

    /// Returns the proof that an end in a role gives.
    static FrameBuilder::Bytes proof(const std::string &key, Role role, const FrameBuilder::Hello &own, const FrameBuilder::Hello &other);
};

} // namespace Guavalock
