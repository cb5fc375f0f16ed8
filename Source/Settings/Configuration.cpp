#include "Settings/Configuration.h"

#include "Settings/ConfigurationDocument.h"
#include "Settings/FieldTable.h"
#include "Settings/ServiceSettings.h"
#include "Settings/SettingsFile.h"

#include <array>

namespace Guavalock
{

namespace
{

using Parts = std::vector<std::string>;

/// Adds one kind of document to a configuration.
struct Adoption {
    std::size_t kindComponent;
    std::string kind;
    bool (*adopt)(const Parts &parts, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors);
};

std::string fullName(const Parts &parts)
{
    return parts[1] + "/" + parts[3];
}

template <class Struct>
bool adoptInto(std::map<std::string, Struct> &values, const std::string &name, const SettingsNode &node, SettingsErrors &errors)
{
    Struct value;
    if (!readSetting(node, value, errors)) {
        return false;
    }
    values[name] = std::move(value);
    return true;
}

bool adoptOut(std::set<std::string> &out, const std::string &name, const SettingsNode &node, SettingsErrors &errors)
{
    ServiceSettings value;
    if (!readSetting(node, value, errors)) {
        return false;
    }
    if (!value.inService()) {
        out.insert(name);
    }
    return true;
}

const std::array adoptions = {
    Adoption{0, "organisations",
             [](const Parts &parts, const SettingsNode &node, Configuration &it, SettingsErrors &errors) {
                 return adoptInto(it.organisations, parts[1], node, errors);
             }},
    Adoption{0, "data-centres",
             [](const Parts &parts, const SettingsNode &node, Configuration &it, SettingsErrors &errors) {
                 return adoptOut(it.dataCentresOut, parts[1], node, errors);
             }},
    Adoption{0, "targets",
             [](const Parts &parts, const SettingsNode &node, Configuration &it, SettingsErrors &errors) {
                 return adoptOut(it.targetsOut, parts[1], node, errors);
             }},
    Adoption{2, "pools",
             [](const Parts &parts, const SettingsNode &node, Configuration &it, SettingsErrors &errors) {
                 return adoptInto(it.pools, fullName(parts), node, errors);
             }},
    Adoption{2, "pipelines",
             [](const Parts &parts, const SettingsNode &node, Configuration &it, SettingsErrors &errors) {
                 return adoptInto(it.pipelines, fullName(parts), node, errors);
             }},
};

void adoptDocument(const std::string &path, const std::string &text, Configuration &configuration)
{
    SettingsErrors errors;
    const Parts parts = ConfigurationDocument::components(path);
    const std::optional<SettingsFile> file = SettingsFile::parse(text, path, errors);
    if (file && ConfigurationDocument::isKnownPath(path)) {
        for (const Adoption &it : adoptions) {
            if (it.kindComponent < parts.size() && parts[it.kindComponent] == it.kind) {
                it.adopt(parts, file->root(), configuration, errors);
            }
        }
    }
    if (!errors.empty()) {
        configuration.rejected[path] = errors.front().text();
    }
}

} // namespace

std::shared_ptr<const Configuration> Configuration::build(const std::map<std::string, std::string> &documents, std::uint64_t offset)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->offset = offset;
    for (const auto &[path, text] : documents) {
        adoptDocument(path, text, *configuration);
    }
    return configuration;
}

std::string Configuration::poolName(const std::string &team, const std::string &reference)
{
    return reference.find('/') == std::string::npos ? team + "/" + reference : reference;
}

} // namespace Guavalock
