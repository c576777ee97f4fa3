# Debian's package names Abseil's shared libraries as its targets and ships the
# archives beside them. The programs take the archives: each of some thirty
# shared libraries would be searched for every symbol at a start.
function(chestnutport_use_abseil_archives)
  get_property(targets DIRECTORY PROPERTY IMPORTED_TARGETS)
  list(FILTER targets INCLUDE REGEX "^absl::")
  foreach(target IN LISTS targets)
    get_target_property(location ${target} IMPORTED_LOCATION_NONE)
    if(NOT location)
      continue()
    endif()
    string(REGEX REPLACE "\\.so\\..*$" ".a" archive "${location}")
    if(EXISTS "${archive}")
      set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_NONE "${archive}")
    endif()
  endforeach()
endfunction()
