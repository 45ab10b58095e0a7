#pragma once

/// A process that a test started.

#include <optional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace ProcessTests {

/// Owns one child process; the destructor kills it and waits for it.
class Process {
public:
    /// Starts a program by its path; output and errors are appended to the file `log`.
    static Process create(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);

    Process() = default;
    Process(Process&& other) noexcept { *this = std::move(other); }
    Process& operator=(Process&&) noexcept;
    ~Process();

    void signal(int number) const;
    /// Kills it at once and waits for its end.
    void kill();
    /// Waits for its end, up to a generous bound. Nothing when a signal ended it or the bound passed.
    std::optional<int> exitCode();

private:
    pid_t m_pid = 0; ///< Zero for none.
};

} // namespace ProcessTests
