# marjoramrail_library(NAME DEPENDS ...) builds src/NAME into a static library
# and test/NAME into one doctest program. If src/NAME has no sources, the library
# has only headers, so that it can be declared before its first file exists.
function(marjoramrail_library NAME)
  cmake_parse_arguments(LIB "" "" "DEPENDS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${NAME}/*.cpp)
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${NAME}/*.cpp)
  set(FULL marjoramrail_${NAME})
  if(SOURCES)
    add_library(${FULL} STATIC ${SOURCES})
    target_include_directories(${FULL} PUBLIC ${CMAKE_SOURCE_DIR}/include
                               PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${FULL} PUBLIC ${LIB_DEPENDS})
  else()
    add_library(${FULL} INTERFACE)
    target_include_directories(${FULL} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(${FULL} INTERFACE ${LIB_DEPENDS})
  endif()
  add_library(marjoramrail::${NAME} ALIAS ${FULL})
  if(TESTS AND NOT MARJORAMRAIL_ONLY_FORWARDER)
    add_executable(${NAME}_test ${TESTS} ${CMAKE_SOURCE_DIR}/test/main.cpp)
    target_include_directories(${NAME}_test PRIVATE ${CMAKE_SOURCE_DIR}/src
                               ${CMAKE_SOURCE_DIR}/test)
    target_link_libraries(${NAME}_test PRIVATE ${FULL})
    add_test(NAME ${NAME} COMMAND ${NAME}_test)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
