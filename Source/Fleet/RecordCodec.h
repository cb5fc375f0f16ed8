#pragma once

#include "Fleet/MemberRecord.h"
#include "Fleet/OperatorChange.h"
#include "Fleet/RecordRevision.h"
#include "Fleet/RolloutStatus.h"
#include "Fleet/TargetRecord.h"
#include "Fleet/Topic.h"
#include "Kernel/Reason.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// Decodes and encodes the records of the store. Records may have been written by other programs, so any input must be handled.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    /// Decodes a record of the operator topic; an empty value means that the key was deleted. Returns nothing, with a reason, if the record
    /// is invalid or does not concern this daemon.
    virtual std::optional<OperatorChange> operatorChange(const std::string &key, const std::optional<std::string> &value,
                                                         Reason &reason) const = 0;

    virtual std::optional<TargetRecord> target(const std::string &key, const std::string &value, Reason &reason) const = 0;

    virtual std::optional<MemberRecord> member(const std::string &key, const std::string &value, Reason &reason) const = 0;

    /// Returns the revision that a value states, or nothing.
    virtual std::optional<RecordRevision> revision(Topic topic, const std::string &key, const std::string &value) const = 0;

    /// Returns whether a key of the members topic holds the status of a rollout instead of a daemon's record.
    virtual bool isRolloutKey(const std::string &key) const = 0;

    /// Returns the service whose rollout such a key concerns.
    virtual std::string rolloutService(const std::string &key) const = 0;

    virtual std::optional<RolloutStatus> rolloutStatus(const std::string &key, const std::string &value, Reason &reason) const = 0;

    virtual std::string rolloutKey(const std::string &service) const = 0;
    virtual std::string rolloutText(const RolloutStatus &status) const = 0;

    virtual std::string memberText(const MemberRecord &member) const = 0;
};

} // namespace Guavalock
