#include "Settings/ConfigurationDocument.h"

#include "Settings/AvailabilitySettings.h"
#include "Settings/FieldTable.h"
#include "Settings/OrganisationSettings.h"
#include "Settings/PipelineSettings.h"
#include "Settings/PoolSettings.h"

#include <array>
#include <sstream>

namespace Guavalock
{

namespace
{

using CheckFunction = void (*)(const SettingsNode &, SettingsErrors &);

struct DocumentType {
    std::vector<std::string> pattern; ///< An empty component matches any name.
    CheckFunction check;
};

template <class Struct>
void checkAs(const SettingsNode &node, SettingsErrors &errors)
{
    Struct value;
    readSetting(node, value, errors);
}

const std::array documentTypes = {
    DocumentType{{"organisations", ""}, checkAs<OrganisationSettings>},
    DocumentType{{"data-centres", ""}, checkAs<AvailabilitySettings>},
    DocumentType{{"targets", ""}, checkAs<AvailabilitySettings>},
    DocumentType{{"teams", "", "pools", ""}, checkAs<PoolSettings>},
    DocumentType{{"teams", "", "pipelines", ""}, checkAs<PipelineSettings>},
};

bool matches(const std::vector<std::string> &pattern, const std::vector<std::string> &components)
{
    if (pattern.size() != components.size()) {
        return false;
    }
    for (std::size_t it = 0; it < components.size(); ++it) {
        const bool valid = pattern[it].empty() ? isPlainName(components[it]) : pattern[it] == components[it];
        if (!valid) {
            return false;
        }
    }
    return true;
}

const DocumentType *findDocumentType(const std::string &path)
{
    const std::vector<std::string> components = ConfigurationDocument::components(path);
    for (const DocumentType &it : documentTypes) {
        if (matches(it.pattern, components)) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace

std::vector<std::string> ConfigurationDocument::components(const std::string &path)
{
    std::vector<std::string> result;
    std::istringstream in(path);
    for (std::string it; std::getline(in, it, '/');) {
        result.push_back(it);
    }
    return result;
}

bool ConfigurationDocument::isKnownPath(const std::string &path)
{
    return findDocumentType(path) != nullptr;
}

std::string ConfigurationDocument::knownPaths()
{
    std::string list;
    for (const DocumentType &type : documentTypes) {
        std::string path;
        for (const std::string &it : type.pattern) {
            path += (path.empty() ? "" : "/") + (it.empty() ? "NAME" : it);
        }
        list += (list.empty() ? "" : ", ") + path;
    }
    return list;
}

std::string ConfigurationDocument::subtree(const std::string &path)
{
    const std::size_t first = path.find('/');
    const std::size_t second = first == std::string::npos ? first : path.find('/', first + 1);
    return path.substr(0, second);
}

void ConfigurationDocument::check(const std::string &path, const SettingsNode &node, SettingsErrors &errors)
{
    const DocumentType *type = findDocumentType(path);
    if (type == nullptr) {
        errors.push_back(node.error("a path of the form " + knownPaths()));
        return;
    }
    type->check(node, errors);
}

} // namespace Guavalock
