# Unit tests have one executable per module.  Fakes simulate external systems
# for the functional tests, the demo and the benchmarks.
enable_testing()

pkg_check_modules(CUNIT REQUIRED IMPORTED_TARGET cunit)
pkg_check_modules(GSL REQUIRED IMPORTED_TARGET gsl)

# Simulation models and checks that fuzz targets and unit tests share.
file(GLOB WORLD_SOURCES CONFIGURE_DEPENDS test/fuzz/session_*.c)
list(FILTER WORLD_SOURCES EXCLUDE REGEX "_fuzz\\.c$")
add_library(session_world STATIC ${WORLD_SOURCES})
target_link_libraries(session_world PUBLIC wisteria)
target_include_directories(session_world PUBLIC test/fuzz)

file(GLOB UNIT_SOURCES CONFIGURE_DEPENDS test/unit/*_test.c)
foreach(source ${UNIT_SOURCES})
	get_filename_component(name ${source} NAME_WE)
	add_executable(${name} ${source})
	target_link_libraries(${name} wisteria PkgConfig::CUNIT)
	if(name MATCHES "^platform")
		target_link_libraries(${name} platform)
	endif()
	if(name MATCHES "^session_world")
		target_link_libraries(${name} session_world)
	endif()
	add_test(NAME unit/${name} COMMAND ${name})
endforeach()

file(GLOB FAKE_SOURCES CONFIGURE_DEPENDS test/functional/fakes/fake_*.c)
foreach(source ${FAKE_SOURCES})
	get_filename_component(name ${source} NAME_WE)
	add_executable(${name} ${source})
	target_link_libraries(${name} wisteria)
endforeach()

file(GLOB HARNESS_SOURCES CONFIGURE_DEPENDS test/functional/harness/*.c)
if(HARNESS_SOURCES)
	add_library(harness STATIC ${HARNESS_SOURCES})
	target_link_libraries(harness PUBLIC wisteria PkgConfig::CUNIT)
	target_include_directories(harness PUBLIC test/functional)
endif()

file(GLOB FUNCTIONAL_SOURCES CONFIGURE_DEPENDS test/functional/*_test.c)
foreach(source ${FUNCTIONAL_SOURCES})
	get_filename_component(name ${source} NAME_WE)
	add_executable(${name} ${source})
	target_link_libraries(${name} harness)
	add_test(NAME functional/${name} COMMAND ${name}
		WORKING_DIRECTORY ${CMAKE_BINARY_DIR})
	set_tests_properties(functional/${name} PROPERTIES
		TIMEOUT 240 RUN_SERIAL ON)
endforeach()

# The randomized soak test of the fleet; CI does a short run with a fixed seed.
add_executable(soak test/soak/soak.c)
target_link_libraries(soak harness)
add_test(NAME functional/soak COMMAND soak --seed=1 --seconds=30
	WORKING_DIRECTORY ${CMAKE_BINARY_DIR})
set_tests_properties(functional/soak PROPERTIES TIMEOUT 240 RUN_SERIAL ON)

if(NOT WISTERIA_SANITIZE AND NOT WISTERIA_FUZZ)
	add_test(NAME functional/newcomer
		COMMAND sh ${CMAKE_SOURCE_DIR}/scripts/newcomer.sh)
	set_tests_properties(functional/newcomer PROPERTIES
		TIMEOUT 600 RUN_SERIAL ON)
endif()

file(GLOB BENCH_COMMON_SOURCES CONFIGURE_DEPENDS bench/*.c)
list(FILTER BENCH_COMMON_SOURCES EXCLUDE REGEX "_bench\\.c$")
if(BENCH_COMMON_SOURCES AND TARGET harness)
	add_library(bench_common STATIC ${BENCH_COMMON_SOURCES})
	target_link_libraries(bench_common PUBLIC harness PkgConfig::GSL)
	target_include_directories(bench_common PUBLIC bench)
endif()

file(GLOB BENCH_SUPPORT CONFIGURE_DEPENDS bench/support/*.c)
if(BENCH_SUPPORT)
	add_library(bench_support STATIC ${BENCH_SUPPORT})
	target_link_libraries(bench_support PUBLIC wisteria)
	target_include_directories(bench_support PUBLIC bench)
endif()

file(GLOB BENCH_SOURCES CONFIGURE_DEPENDS bench/*_bench.c)
foreach(source ${BENCH_SOURCES})
	get_filename_component(name ${source} NAME_WE)
	add_executable(${name} ${source})
	target_link_libraries(${name} wisteria PkgConfig::GSL)
	if(TARGET bench_common)
		target_link_libraries(${name} bench_common)
	endif()
	if(TARGET bench_support)
		target_link_libraries(${name} bench_support)
	endif()
endforeach()

file(GLOB FUZZ_SOURCES CONFIGURE_DEPENDS test/fuzz/*_fuzz.c)
# The fuzz targets as CI runs them, alike in each run.
if(NOT WISTERIA_FUZZ)
	foreach(source ${FUZZ_SOURCES})
		get_filename_component(name ${source} NAME_WE)
		add_executable(${name}_replay ${source} test/fuzz/replay_main.c)
		target_link_libraries(${name}_replay wisteria)
		if(name MATCHES "^session")
			target_link_libraries(${name}_replay session_world)
		endif()
	endforeach()
endif()

if(WISTERIA_FUZZ)
	foreach(source ${FUZZ_SOURCES})
		get_filename_component(name ${source} NAME_WE)
		add_executable(${name} ${source})
		target_link_libraries(${name} wisteria)
		if(name MATCHES "^session")
			target_link_libraries(${name} session_world)
		endif()
		target_link_options(${name} PRIVATE -fsanitize=fuzzer)
	endforeach()
endif()
