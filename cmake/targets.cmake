# Adds a program. The arguments are source directories or single .cpp files.
function(citronseam_program name)
  set(sources)
  foreach(source IN LISTS ARGN)
    if(source MATCHES "\\.cpp$")
      list(APPEND sources ${source})
    else()
      file(GLOB found CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${source}/*.cpp)
      list(APPEND sources ${found})
    endif()
  endforeach()
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE citronseam_io)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  target_compile_definitions(${name} PRIVATE CITRONSEAM_VERSION="${PROJECT_VERSION}")
endfunction()

# Adds the test executable NAME from NAME.cpp and registers it with CTest. Further arguments are
# CTest properties.
function(citronseam_test name)
  add_executable(${name} ${name}.cpp)
  target_link_libraries(${name} PRIVATE citronseam_io test_support GTest::gmock GTest::gtest_main)
  target_compile_definitions(${name} PRIVATE
    CITRONSEAM_BIN_DIR="${CMAKE_BINARY_DIR}/bin" CITRONSEAM_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ${ARGN})
endfunction()
