#include "Stages/Stage.h"

namespace Guavalock
{

bool Stage::streams() const
{
    return false;
}

std::uint64_t Stage::affinity(const boost::json::object &) const
{
    return 0;
}

} // namespace Guavalock
