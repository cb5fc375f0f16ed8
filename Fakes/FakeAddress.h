#pragma once

#include <string>

namespace Guavalock
{

/// The loopback address on which the fakes of this process listen: 127.0.0.1 unless chosen otherwise.
class FakeAddress
{
public:
    static const std::string &text();

    /// Chooses an address derived from the process id, so that processes that use the same ports can run side by side.
    static void chooseForProcess();
};

} // namespace Guavalock
