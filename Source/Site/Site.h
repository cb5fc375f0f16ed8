#pragma once

#include "Fleet/RecordStore.h"
#include "Kernel/Reason.h"
#include "Site/SiteSettings.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Guavalock
{

class RecordCodec;
class RelayCodec;
class StageCodec;

/// A deployment's own ways of speaking: where settings come from, and how the store, targets and callers are spoken to.
class Site
{
public:
    static constexpr const char *pluginKind = "site";

    virtual ~Site() = default;

    /// Reads settings from a file, or from where the deployment puts those of this process when the path is empty. Returns nothing,
    /// with a reason that names the setting, when they cannot be used.
    virtual std::optional<SiteSettings> settings(const std::string &path, Reason &reason) const = 0;

    virtual const RelayCodec &relayCodec() const = 0;
    virtual const StageCodec &stageCodec() const = 0;
    virtual const RecordCodec &recordCodec() const = 0;

    /// Makes a client of the store for use on one strand.
    virtual std::unique_ptr<RecordStore> store(boost::asio::any_io_executor strand, const Endpoint &endpoint) const = 0;
};

} // namespace Guavalock
