#pragma once

#include "Placement/PlacementAnswer.h"
#include "Placement/PlacementQuery.h"
#include "Placement/PlacementReport.h"
#include "Placement/PlacementTotal.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Sends the messages of placement to other daemons, which are identified by their Vm names. Thread-safe.
///
/// Each function returns false, without sending anything, when the daemon is not connected.
class PlacementTransport
{
public:
    virtual ~PlacementTransport() = default;

    virtual bool sendPlacementQueries(const std::string &vm, const std::vector<PlacementQuery> &queries) = 0;
    virtual bool sendPlacementAnswers(const std::string &vm, const std::vector<PlacementAnswer> &answers) = 0;
    virtual bool sendPlacementReports(const std::string &vm, const std::vector<PlacementReport> &reports) = 0;
    virtual bool sendPlacementTotals(const std::string &vm, const std::string &service, const std::vector<PlacementTotal> &totals) = 0;
};

} // namespace Guavalock
