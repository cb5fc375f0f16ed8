#include "Peer/PeerHandshake.h"

#include "Flow/DeadlineTimer.h"
#include "Peer/FrameChannel.h"
#include "Peer/FrameReader.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t nonceBytes = 32;

FrameBuilder::Hello ownHello(const DaemonContext &context)
{
    FrameBuilder::Hello hello;
    hello.vm = context.settings.vm;
    hello.dataCentre = context.settings.dataCentre;
    hello.incarnation = context.incarnation;
    hello.nonce.resize(nonceBytes);
    RAND_bytes(hello.nonce.data(), static_cast<int>(hello.nonce.size()));
    return hello;
}

void appendTerminated(FrameBuilder::Bytes &bytes, const std::string &text)
{
    bytes.insert(bytes.end(), text.begin(), text.end());
    bytes.push_back(0);
}

bool equalInConstantTime(const FrameBuilder::Bytes &a, const FrameBuilder::Bytes &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

PeerHandshake::Role oppositeRole(PeerHandshake::Role role)
{
    return role == PeerHandshake::Role::Dialler ? PeerHandshake::Role::Listener : PeerHandshake::Role::Dialler;
}

bool proofIsValid(const ProcessSettings &settings, PeerHandshake::Role peerRole, const FrameBuilder::Bytes &mac,
                  const FrameBuilder::Hello &own, const FrameBuilder::Hello &other)
{
    std::vector<std::string> keys = settings.acceptedPeerKeys;
    keys.push_back(settings.peerKey);
    bool valid = false;
    for (const std::string &it : keys) {
        valid = equalInConstantTime(mac, PeerHandshake::proof(it, peerRole, other, own)) || valid;
    }
    return valid;
}

} // namespace

FrameBuilder::Bytes PeerHandshake::proof(const std::string &key, Role role, const FrameBuilder::Hello &own,
                                         const FrameBuilder::Hello &other)
{
    FrameBuilder::Bytes text{static_cast<std::uint8_t>(role)};
    text.insert(text.end(), own.nonce.begin(), own.nonce.end());
    text.insert(text.end(), other.nonce.begin(), other.nonce.end());
    appendTerminated(text, own.vm);
    appendTerminated(text, own.dataCentre);
    appendTerminated(text, own.incarnation);
    appendTerminated(text, other.vm);
    appendTerminated(text, other.dataCentre);
    appendTerminated(text, other.incarnation);
    FrameBuilder::Bytes mac(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), text.data(), text.size(), mac.data(), &length);
    mac.resize(length);
    return mac;
}

Asio::awaitable<std::optional<FrameBuilder::Hello>> PeerHandshake::run(const DaemonContext &context, FrameChannel &channel, Role role)
{
    const DeadlineTimer timer(channel.strand(), context.clock.now() + timeout, [&channel] { channel.close(); });
    const FrameBuilder::Hello own = ownHello(context);
    channel.send(FrameBuilder::hello(own));
    const std::optional<FrameChannel::Bytes> helloFrame = co_await channel.read();
    std::optional<FrameBuilder::Hello> other = helloFrame ? FrameReader::hello(*helloFrame) : std::nullopt;
    if (!other || other->nonce.size() != nonceBytes) {
        co_return std::nullopt;
    }
    channel.send(FrameBuilder::proof(proof(context.settings.peerKey, role, own, *other)));
    const std::optional<FrameChannel::Bytes> proofFrame = co_await channel.read();
    const std::optional<FrameBuilder::Bytes> mac = proofFrame ? FrameReader::proof(*proofFrame) : std::nullopt;
    if (!mac || !proofIsValid(context.settings, oppositeRole(role), *mac, own, *other)) {
        co_return std::nullopt;
    }
    co_return other;
}

} // namespace Guavalock
