/* Reads the scalars of a settings file with yajl, each with its path and line.
 */
#ifndef BR_SHELL_SETTINGS_READER_H
#define BR_SHELL_SETTINGS_READER_H

#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_SCALAR_STRING,
  BR_SCALAR_INT,
  BR_SCALAR_REAL,
  BR_SCALAR_BOOL,
} br_scalar_kind_t;

/* One scalar of the file, which owns its strings. */
typedef struct
{
  br_scalar_kind_t kind;
  char *path;         /* without array positions: "peers.vms[].name" */
  char *display_path; /* with array positions: "peers.vms[2].name" */
  size_t item;        /* position in the outermost array */
  char *text;         /* of a string */
  int64_t number;     /* of a whole number, or 0 and 1 */
  double real;        /* of a whole number or a fraction */
  int line;
} br_scalar_t;

BR_VEC (br_scalars, br_scalar_t);

/* NAME and FAULTS must be set before the file is read. */
typedef struct
{
  const char *name;
  br_buf_t *faults; /* lines of "NAME:LINE: KEY: what is wrong" */
  size_t n_faults;
  br_scalars_t scalars; /* owned */
  int last_line;
} br_settings_file_t;

/* Appends a fault. */
void br_settings_file_fault (br_settings_file_t *file,
                             int line,
                             const char *key,
                             const char *what);

/* Reads all scalars of TEXT.  A syntax error, a null and a key that is given
 * twice are faults.  Returns false after a syntax error. */
bool br_settings_file_read (br_settings_file_t *file, br_str_t text);
void br_settings_file_release (br_settings_file_t *file);

BR_END_DECLS

#endif
