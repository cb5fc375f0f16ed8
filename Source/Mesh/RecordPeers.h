#pragma once

#include "Decisions/RandomEngine.h"
#include "Fleet/MemberRecord.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Selects the linked daemons that are asked for records while the store and its reader don't provide them.
class RecordPeers
{
public:
    /// A linked daemon.
    struct Candidate {
        std::string vm;
        std::string dataCentre;
        bool isResponsive = false; ///< Whether its heartbeats arrive.
    };

    /// Returns the names of up to two daemons: one in this data centre and one in another if there are, because those of one data centre
    /// may all have lost the same reader. Daemons that are silent are selected only if there are no others.
    static std::vector<std::string> choose(std::vector<Candidate> linked, const std::string &dataCentre, RandomEngine &random);
};

} // namespace Guavalock
