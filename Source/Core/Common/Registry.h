#pragma once

/// Self-registering plug-ins: an implementation registers a factory under a name from a static object.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Common {

/// Table of factories for implementations of Interface, built from Args. One table for each (Interface, Args) pair.
template<typename Interface, typename... Args>
class Registry {
public:
    using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

    /// The process-wide table; filled during static initialization.
    static Registry& instance()
    {
        static Registry s_registry;
        return s_registry;
    }

    void add(const std::string& name, Factory factory) { m_factories[name] = std::move(factory); }

    /// Builds the implementation of that name; null when nothing is registered under it.
    std::unique_ptr<Interface> create(const std::string& name, Args... args) const
    {
        const auto it = m_factories.find(name);
        if (it == m_factories.end())
            return nullptr;
        return it->second(std::forward<Args>(args)...);
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, factory] : m_factories)
            names.push_back(name);
        return names;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/// A static object of this type registers a factory before main() runs.
template<typename Interface, typename... Args>
struct Registration {
    Registration(const std::string& name, typename Registry<Interface, Args...>::Factory factory)
    {
        Registry<Interface, Args...>::instance().add(name, std::move(factory));
    }
};

} // namespace Common
