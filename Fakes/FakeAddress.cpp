#include "FakeAddress.h"

#include <unistd.h>

namespace Guavalock
{

namespace
{

std::string &currentAddress()
{
    static std::string address = "127.0.0.1";
    return address;
}

} // namespace

const std::string &FakeAddress::text()
{
    return currentAddress();
}

void FakeAddress::chooseForProcess()
{
    constexpr int hosts = 250; ///< Per component of the address; avoids 0 and 255.
    constexpr int firstNetwork = 64; ///< Apart from the networks that the fault soak uses.
    constexpr int networks = 128;
    const int id = ::getpid();
    currentAddress() = "127." + std::to_string(firstNetwork + id / hosts / hosts % networks) + "." + std::to_string(1 + id / hosts % hosts)
        + "." + std::to_string(1 + id % hosts);
}

} // namespace Guavalock
