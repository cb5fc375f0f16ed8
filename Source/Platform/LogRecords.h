#pragma once

#include "Decisions/ClaimLedger.h"
#include "Decisions/ConfigurationRecord.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// Serialises and parses the JSON payload of log records.
class LogRecords
{
public:
    /// Record with which the holder of a key releases it.
    struct Release {
        std::string key;
        std::string claimId;
    };

    static constexpr const char *configurationStream = "configuration";
    static constexpr const char *keyStream = "keys";

    static std::string write(const ConfigurationRecord &record);
    static std::string write(const ClaimLedger::Claim &claim);
    static std::string write(const Release &release);

    /// Parse functions. Each returns nothing if the data is a record of another kind.
    static std::optional<ConfigurationRecord> parseConfiguration(const std::string &id, const std::string &data);
    static std::optional<ClaimLedger::Claim> parseClaim(const std::string &id, const std::string &data);
    static std::optional<Release> parseRelease(const std::string &data);
};

} // namespace Guavalock
