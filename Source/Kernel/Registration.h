#pragma once

#include "Kernel/Registry.h"

namespace Guavalock
{

/// Registers Plugin as an implementation of Interface during static initialisation.
///
/// Plugin must be constructible from Args. Define one Registration object at namespace scope in the plug-in's .cpp file.
template <class Interface, class Plugin, class... Args>
class Registration
{
public:
    Registration(const std::string &name, const std::string &summary)
    {
        Registry<Interface, Args...>::instance().add(name, summary, [](Args... args) -> std::unique_ptr<Interface> {
            return std::make_unique<Plugin>(std::forward<Args>(args)...);
        });
    }
};

} // namespace Guavalock
