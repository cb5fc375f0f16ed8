#pragma once

#include "Peer/FrameBuilder.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

class FrameChannel;
struct DaemonContext;

/// Mutual authentication of a new connection with a pre-shared key.
///
/// Each end sends a hello with a random nonce, then an HMAC-SHA-256 over its role, both nonces and both identities (VM, data
/// centre and incarnation).
class PeerHandshake
{
public:
    enum class Role : std::uint8_t {
        Dialler = 1,
        Listener = 2,
    };

    static constexpr std::chrono::milliseconds timeout{2'000};

    /// Returns the peer's hello, or nothing if the peer sends no valid proof within the timeout. Runs on the channel's strand.
    static boost::asio::awaitable<std::optional<FrameBuilder::Hello>> run(const DaemonContext &context, FrameChannel &channel, Role role);

    /// Computes the proof sent by the end that has the given role and whose hello is `own`.
    static FrameBuilder::Bytes proof(const std::string &key, Role role, const FrameBuilder::Hello &own, const FrameBuilder::Hello &other);
};

} // namespace Guavalock
