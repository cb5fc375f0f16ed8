#pragma once

#include "Kernel/PluginCatalogue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

/// Holds the factories of one kind of plug-in, keyed by name.
///
/// Interface declares its kind in a static member `pluginKind`. Args are the parameters of its factories. A plug-in registers
/// itself from its own translation unit through a Registration object; the kernel refers to no plug-in by name.
template <class Interface, class... Args>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }

    void add(const std::string &name, const std::string &summary, Factory factory)
    {
        m_factories.emplace(name, std::move(factory));
        PluginCatalogue::instance().add({Interface::pluginKind, name, summary});
    }

    /// Creates an instance of the named plug-in. Returns null if no plug-in has that name.
    std::unique_ptr<Interface> create(const std::string &name, Args... args) const
    {
        const auto it = m_factories.find(name);
        if (it == m_factories.end()) {
            return nullptr;
        }
        return it->second(std::forward<Args>(args)...);
    }

    /// Creates one instance of every plug-in of this kind, keyed by name.
    std::map<std::string, std::unique_ptr<Interface>> createAll(Args... args) const
    {
        std::map<std::string, std::unique_ptr<Interface>> instances;
        for (const auto &[name, factory] : m_factories) {
            instances.emplace(name, factory(args...));
        }
        return instances;
    }

private:
    std::map<std::string, Factory> m_factories;
};

} // namespace Guavalock
