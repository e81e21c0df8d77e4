// The one definition of easylogging++'s global storage; every program that logs links it.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
