/// Development tool: writes the JSON Schema to a file and the field tables to standard output.

#include "Objects/ObjectSchema.h"

#include <iostream>

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: write_object_schema FILE\n";
        return 2;
    }
    try {
        Objects::ObjectSchema::write(argv[1]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    std::cout << Objects::ObjectSchema::fieldTables();
    return 0;
}
