/* Launcher of the single-file executable: runs the embedded interpreter on the archive that is
 * appended to the executable itself. */

#include <Python.h>

static int fail(PyStatus status, PyConfig *config)
{
    PyConfig_Clear(config);
    Py_ExitStatusException(status);
    return 1;
}

int main(int argc, char **argv)
{
    PyConfig config;
    PyStatus status;

    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.install_signal_handlers = 1;
    config.module_search_paths_set = 1;

    wchar_t **own_paths[] = {
        &config.program_name, &config.executable, &config.base_executable, &config.prefix,
        &config.base_prefix, &config.exec_prefix, &config.base_exec_prefix, &config.run_filename,
    };
    for (size_t i = 0; i < sizeof(own_paths) / sizeof(own_paths[0]); i++) {
        status = PyConfig_SetBytesString(&config, own_paths[i], "/proc/self/exe");
        if (PyStatus_Exception(status)) return fail(status, &config);
    }
    status = PyWideStringList_Append(&config.module_search_paths, L"/proc/self/exe");
    if (PyStatus_Exception(status)) return fail(status, &config);
    status = PyConfig_SetBytesArgv(&config, argc, argv);
    if (PyStatus_Exception(status)) return fail(status, &config);
    status = Py_InitializeFromConfig(&config);
    if (PyStatus_Exception(status)) return fail(status, &config);
    PyConfig_Clear(&config);
    return Py_RunMain();
}
