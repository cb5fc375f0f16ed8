#pragma once

#include "Kernel/Registry.h"

namespace Guavalock
{

/// Registers Plugin as an implementation of Interface while the program is loaded.
///
/// Plugin needs a constructor that takes Args. Use it once, at namespace scope, in the plug-in's own .cpp file.
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
