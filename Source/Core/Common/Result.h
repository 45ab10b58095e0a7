#pragma once

/// Result of a static factory function: a value or a typed error.

#include <utility>
#include <variant>

namespace Common {

/// Holds a value of type T or an error of type E. Accessing the one that isn't held throws std::bad_variant_access.
template<typename T, typename E>
class [[nodiscard]] Result {
public:
    Result(T value)
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }

    Result(E error)
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    bool isOk() const { return m_state.index() == 0; }
    explicit operator bool() const { return isOk(); }

    T& value() { return std::get<0>(m_state); }
    const T& value() const { return std::get<0>(m_state); }
    const E& error() const { return std::get<1>(m_state); }

    /// Moves the value out of the result.
    T take() { return std::move(std::get<0>(m_state)); }

private:
    std::variant<T, E> m_state;
};

} // namespace Common
