#pragma once

#include "Placement/PlacementAnswer.h"
#include "Placement/PlacementQuery.h"
#include "Placement/PlacementReport.h"
#include "Placement/PlacementTotal.h"

#include <functional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Handlers for the placement messages of other daemons; `vm` is the sender. All or none are set.
struct PlacementHandlers {
    std::function<void(const std::string &vm, std::vector<PlacementQuery>)> queries;
    std::function<void(const std::string &vm, std::vector<PlacementAnswer>)> answers;
    std::function<void(const std::string &vm, std::vector<PlacementReport>)> reports;
    std::function<void(const std::string &vm, const std::string &service, std::vector<PlacementTotal>)> totals;
};

} // namespace Guavalock
