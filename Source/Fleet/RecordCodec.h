#pragma once

#include "Fleet/MemberRecord.h"
#include "Fleet/OperatorChange.h"
#include "Fleet/TargetRecord.h"
#include "Kernel/Reason.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// Translates the store's records into the product's types. Records may come from other writers and in any form.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    /// Returns nothing, with a reason, for a record that says nothing to this daemon. Without a value the key was dropped.
    virtual std::optional<OperatorChange> operatorChange(const std::string &key, const std::optional<std::string> &value,
                                                         Reason &reason) const = 0;

    virtual std::optional<TargetRecord> target(const std::string &key, const std::string &value, Reason &reason) const = 0;

    virtual std::optional<MemberRecord> member(const std::string &key, const std::string &value, Reason &reason) const = 0;

    virtual std::string memberText(const MemberRecord &member) const = 0;
};

} // namespace Guavalock
