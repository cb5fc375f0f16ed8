#pragma once

#include "Decisions/ContentEvidence.h"
#include "Fleet/EvidenceOrigin.h"
#include "Fleet/LimitReport.h"

#include <vector>

namespace Guavalock
{

/// What daemons tell each other about targets and about content that crashes them.
struct Evidence {
    ContentEvidence content;
    std::vector<LimitReport> limits;
    EvidenceOrigin origin{}; ///< Empty in snapshots.

    bool empty() const
    {
        return content.empty() && limits.empty();
    }
};

} // namespace Guavalock
