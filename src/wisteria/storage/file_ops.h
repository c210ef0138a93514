#ifndef WISTERIA_STORAGE_FILE_OPS_H
#define WISTERIA_STORAGE_FILE_OPS_H

#include "wisteria/storage/file_ops_defs.h"

extern const file_ops_t file_ops_system;

#endif
