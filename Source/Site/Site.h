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

/// Adapter to a deployment: the source of settings, and the protocols of the record store, the targets and the clients.
class Site
{
public:
    static constexpr const char *pluginKind = "site";

    virtual ~Site() = default;

    /// Reads settings from a file or, if the path is empty, from the default location of the deployment. Returns nothing, with a reason
    /// that names the setting, if they are invalid.
    virtual std::optional<SiteSettings> settings(const std::string &path, Reason &reason) const = 0;

    virtual const RelayCodec &relayCodec() const = 0;
    virtual const StageCodec &stageCodec() const = 0;
    virtual const RecordCodec &recordCodec() const = 0;

    /// Creates a store client for use on one strand.
    virtual std::unique_ptr<RecordStore> store(boost::asio::any_io_executor strand, const Endpoint &endpoint) const = 0;
};

} // namespace Guavalock
