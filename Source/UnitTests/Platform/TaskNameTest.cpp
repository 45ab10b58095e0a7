/// Formatting and parsing of task names.

#include "TaskName.h"

#include <doctest/doctest.h>
#include <string>

using namespace PlatformAdapter;

TEST_CASE("a task's name consists of job, occurrence, step and index")
{
    const Jobs::TaskKey key { "5c0e7a21d94b36f8", 2, 1, 17 };
    CHECK(taskName(key) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(stepName(key) == "5c0e7a21d94b36f8.2.1");
    CHECK(readTaskName("5c0e7a21d94b36f8.2.1.17") == key);
}

TEST_CASE("a malformed task name is refused")
{
    for (const std::string name : { "", "job", "job.1", "job.1.2", ".1.2.3", "job.1.2.", "job.1.2.x", "job.1.2.3 ", "job.-1.2.3", "job.1.2.99999999999" }) {
        CAPTURE(name);
        CHECK_FALSE(readTaskName(name));
    }
}
