#include "Settings/Configuration.h"

#include "Settings/AvailabilitySettings.h"
#include "Settings/ConfigurationDocument.h"
#include "Settings/FieldTable.h"
#include "Settings/SettingsFile.h"

#include <array>

namespace Guavalock
{

namespace
{

using PathComponents = std::vector<std::string>;

/// Reads documents of one kind into a configuration.
struct DocumentReader {
    std::size_t kindComponent; ///< Index of the path component that names the kind.
    std::string kind;
    bool (*read)(const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors);
};

std::string qualifiedName(const PathComponents &components)
{
    return components[1] + "/" + components[3];
}

template <class Struct>
bool readInto(std::map<std::string, Struct> &values, const std::string &name, const SettingsNode &node, SettingsErrors &errors)
{
    Struct value;
    if (!readSetting(node, value, errors)) {
        return false;
    }
    values[name] = std::move(value);
    return true;
}

bool readOutOfService(std::set<std::string> &outOfService, const std::string &name, const SettingsNode &node, SettingsErrors &errors)
{
    AvailabilitySettings value;
    if (!readSetting(node, value, errors)) {
        return false;
    }
    if (!value.inService()) {
        outOfService.insert(name);
    }
    return true;
}

const std::array documentReaders = {
    DocumentReader{0, "organisations",
                   [](const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors) {
                       return readInto(configuration.organisations, components[1], node, errors);
                   }},
    DocumentReader{0, "data-centres",
                   [](const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors) {
                       return readOutOfService(configuration.dataCentresOut, components[1], node, errors);
                   }},
    DocumentReader{0, "targets",
                   [](const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors) {
                       return readOutOfService(configuration.targetsOut, components[1], node, errors);
                   }},
    DocumentReader{2, "pools",
                   [](const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors) {
                       return readInto(configuration.pools, qualifiedName(components), node, errors);
                   }},
    DocumentReader{2, "pipelines",
                   [](const PathComponents &components, const SettingsNode &node, Configuration &configuration, SettingsErrors &errors) {
                       return readInto(configuration.pipelines, qualifiedName(components), node, errors);
                   }},
};

void applyDocument(const std::string &path, const std::string &text, Configuration &configuration)
{
    SettingsErrors errors;
    const PathComponents components = ConfigurationDocument::components(path);
    if (!ConfigurationDocument::isKnownPath(path)) {
        configuration.rejected[path] = "the path has none of the forms " + ConfigurationDocument::knownPaths();
        return;
    }
    if (const std::optional<SettingsFile> file = SettingsFile::parse(text, path, errors)) {
        for (const DocumentReader &it : documentReaders) {
            if (it.kindComponent < components.size() && components[it.kindComponent] == it.kind) {
                it.read(components, file->root(), configuration, errors);
            }
        }
    }
    if (!errors.empty()) {
        configuration.rejected[path] = errors.front().text();
    }
}

} // namespace

std::shared_ptr<const Configuration> Configuration::build(const std::map<std::string, std::string> &documents, std::uint64_t nextOffset)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->nextOffset = nextOffset;
    for (const auto &[path, text] : documents) {
        applyDocument(path, text, *configuration);
    }
    return configuration;
}

std::string Configuration::poolName(const std::string &team, const std::string &reference)
{
    return reference.find('/') == std::string::npos ? team + "/" + reference : reference;
}

} // namespace Guavalock
