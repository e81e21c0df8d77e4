// Defines the global storage of easylogging++, once for each program that logs.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
