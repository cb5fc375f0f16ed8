#pragma once

#include "Decisions/ClaimLedger.h"
#include "Decisions/ConfigurationRecord.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// The data of records in the log, as JSON text.
class LogRecords
{
public:
    /// A key that its holder gives back.
    struct Release {
        std::string key;
        std::string claimId;
    };

    static constexpr const char *configurationStream = "configuration";
    static constexpr const char *keyStream = "keys";

    static std::string write(const ConfigurationRecord &record);
    static std::string write(const ClaimLedger::Claim &claim);
    static std::string write(const Release &release);

    /// Each returns nothing when the data is not of its kind.
    static std::optional<ConfigurationRecord> configuration(const std::string &id, const std::string &data);
    static std::optional<ClaimLedger::Claim> claim(const std::string &id, const std::string &data);
    static std::optional<Release> release(const std::string &data);
};

} // namespace Guavalock
