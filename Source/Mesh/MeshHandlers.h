#pragma once

#include "Admission/ServiceBacklog.h"
#include "Batching/Piece.h"
#include "Batching/PieceResult.h"
#include "Fleet/Evidence.h"
#include "Fleet/MemberRecord.h"
#include "Fleet/RecordUpdate.h"
#include "Fleet/Roster.h"
#include "Fleet/Topic.h"
#include "Placement/PlacementAnswer.h"
#include "Placement/PlacementQuery.h"
#include "Placement/PlacementReport.h"
#include "Placement/PlacementTotal.h"
#include "Rollout/RolloutEvidence.h"
#include "Rollout/RolloutState.h"

#include <functional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Handlers for the frames of another daemon. Frames whose handler is not set are ignored.
struct MeshHandlers {
    std::function<void(const MemberRecord &)> hello;
    std::function<void(bool draining)> heartbeat;
    std::function<void(std::vector<Piece>)> pieces;
    std::function<void(std::vector<ServiceBacklog>)> backlogs; ///< Called before results, for a frame that reports any.
    std::function<void(std::vector<PieceResult>)> results;
    std::function<void(const std::string &requestId)> cancel;
    std::function<void(std::vector<std::string> handles)> release;
    std::function<void(Topic, RecordPosition from, bool compressed)>
        recordsRequest; ///< `compressed`: the sender decodes compressed frames.
    std::function<void(RecordUpdate)> records;
    std::function<void(Roster)> roster;
    std::function<void(Evidence)> evidence;
    std::function<void(RolloutEvidence)> rolloutEvidence;
    std::function<void(RolloutState)> rolloutState;
    std::function<void(std::vector<PlacementQuery>)> placementQueries;
    std::function<void(std::vector<PlacementAnswer>)> placementAnswers;
    std::function<void(std::vector<PlacementReport>)> placementReports;
    std::function<void(const std::string &service, std::vector<PlacementTotal>)> placementTotals;
};

} // namespace Guavalock
