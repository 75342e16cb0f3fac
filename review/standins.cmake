# Adds the stand-ins of the review's scripts to the project, which includes this file through
# CMAKE_PROJECT_citronseam_INCLUDE. The daemon comes from the build of the deploy file.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

# The project's own stand-ins for the platform's store, the servers and the weight origin.
set(SUPPORT ${CMAKE_SOURCE_DIR}/tests/support)
set(REVIEW ${CMAKE_SOURCE_DIR}/review)
add_library(review_standins STATIC
            ${SUPPORT}/child_process.cpp ${SUPPORT}/platform_server.cpp ${SUPPORT}/raw_server.cpp ${SUPPORT}/relay.cpp
            ${SUPPORT}/row_store.cpp ${SUPPORT}/standin_http.cpp ${SUPPORT}/weight_origin.cpp
            ${REVIEW}/review_world.cc ${REVIEW}/record.cc ${REVIEW}/crashing_servers.cc)
target_include_directories(review_standins PUBLIC ${CMAKE_SOURCE_DIR}/tests ${REVIEW})
target_link_libraries(review_standins PUBLIC citronseam_io)

file(GLOB CASES CONFIGURE_DEPENDS ${REVIEW}/case_*.cc)
set(CASE_NAMES)
foreach(source IN LISTS CASES)
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE review_standins)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  list(APPEND CASE_NAMES ${name})
endforeach()
add_custom_target(review DEPENDS ${CASE_NAMES})
