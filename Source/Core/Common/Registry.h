#pragma once

/// Registry of named factories. An implementation registers itself from a static Registration object.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Common {

/// Factories for implementations of Interface that are constructed from Args. One registry per (Interface, Args) pair.
template<typename Interface, typename... Args>
class Registry {
public:
    using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

    /// The process-wide registry; filled during static initialization.
    static Registry& instance()
    {
        static Registry s_registry;
        return s_registry;
    }

    /// Registers a factory, replacing one of the same name. Called by Registration before main(); not thread-safe.
    void add(const std::string& name, Factory factory) { m_factories[name] = std::move(factory); }

    /// Creates the implementation registered under the name; null when there is none.
    std::unique_ptr<Interface> create(const std::string& name, Args... args) const
    {
        const auto it = m_factories.find(name);
        if (it == m_factories.end())
            return nullptr;
        return it->second(std::forward<Args>(args)...);
    }

    /// The registered names, sorted.
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

/// Registers a factory before main() runs; declare one static object per implementation.
template<typename Interface, typename... Args>
struct Registration {
    Registration(const std::string& name, typename Registry<Interface, Args...>::Factory factory)
    {
        Registry<Interface, Args...>::instance().add(name, std::move(factory));
    }
};

} // namespace Common
