# The three kinds of target of this project. Sources and dependencies are
# written out by hand, so that a target's size and direction can be read here.

function(chestnutport_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(chestnutport_${name} STATIC ${ARG_SOURCES})
  target_include_directories(chestnutport_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
  target_link_libraries(chestnutport_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

function(chestnutport_add_binary name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

function(chestnutport_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Catch2::Catch2WithMain)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES
    TIMEOUT ${ARG_TIMEOUT}
    LABELS "${ARG_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261202;CHESTNUTPORT_BIN=${CMAKE_BINARY_DIR}/bin;CHESTNUTPORT_SOURCE=${PROJECT_SOURCE_DIR}")
endfunction()
