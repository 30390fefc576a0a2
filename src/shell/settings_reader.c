#include "shell/settings_reader.h"

#include <string.h>
#include <yajl/yajl_parse.h>

#define PATH_RESERVE_BYTES 200
#define DEPTH_MAX 8

typedef struct
{
  bool is_array;
  size_t position;
  size_t path_len;
  size_t display_path_len;
} level_t;

typedef struct
{
  br_settings_file_t *file;
  br_str_t text;
  yajl_handle handle;
  br_buf_t path;
  br_buf_t display_path;
  level_t levels[DEPTH_MAX];
  size_t depth;
  size_t counted_offset; /* newlines before it are counted */
} reader_t;

void
br_settings_file_fault (br_settings_file_t *file,
                        int line,
                        const char *key,
                        const char *what)
{
  br_buf_printf (file->faults, "%s:%d: %s: %s\n", file->name, line, key, what);
  file->n_faults++;
}

static void
reader_fault (reader_t *reader, int line, const char *key, const char *what)
{
  br_settings_file_fault (reader->file, line, key, what);
}

static int
reader_line (reader_t *reader)
{
  size_t offset = yajl_get_bytes_consumed (reader->handle);

  offset = BR_MIN (offset, reader->text.len);
  while (reader->counted_offset < offset)
    if (reader->text.data[reader->counted_offset++] == '\n')
      reader->file->last_line++;
  return reader->file->last_line;
}

static void
buf_cut (br_buf_t *buf, size_t len)
{
  if (buf->data == NULL)
    return;
  buf->len = len;
  buf->data[len] = '\0';
}

/* Called before each value.  Inside an array, sets the value's position at the
 * end of the path. */
static void
reader_begin_value (reader_t *reader)
{
  level_t *level;

  if (reader->depth == 0)
    return;
  level = &reader->levels[reader->depth - 1];
  if (!level->is_array)
    return;
  buf_cut (&reader->path, level->path_len);
  buf_cut (&reader->display_path, level->display_path_len);
  br_buf_printf (&reader->path, "[]");
  br_buf_printf (&reader->display_path, "[%zu]", level->position++);
}

static size_t
reader_outer_position (const reader_t *reader)
{
  for (size_t i = 0; i < reader->depth; i++)
    if (reader->levels[i].is_array)
      return reader->levels[i].position - 1;
  return 0;
}

static bool
reader_has_scalar (const reader_t *reader, const char *display_path)
{
  for (size_t i = 0; i < reader->file->scalars.len; i++)
    if (strcmp (reader->file->scalars.items[i].display_path, display_path) == 0)
      return true;
  return false;
}

static br_scalar_t *
reader_add (reader_t *reader, br_scalar_kind_t kind)
{
  br_scalar_t scalar = { .kind = kind, .line = reader_line (reader) };

  reader_begin_value (reader);
  if (reader_has_scalar (reader, reader->display_path.data))
    reader_fault (reader, scalar.line, reader->display_path.data,
                  "this key is given twice");
  scalar.path = br_str_dup (br_buf_str (&reader->path));
  scalar.display_path = br_str_dup (br_buf_str (&reader->display_path));
  scalar.item = reader_outer_position (reader);
  return br_scalars_push (&reader->file->scalars, scalar);
}

static int
on_null (void *context)
{
  reader_t *reader = context;

  reader_begin_value (reader);
  reader_fault (reader, reader_line (reader), reader->display_path.data,
                "must not be null");
  return 1;
}

static int
on_boolean (void *context, int value)
{
  reader_add (context, BR_SCALAR_BOOL)->number = value;
  return 1;
}

static int
on_integer (void *context, long long value)
{
  br_scalar_t *scalar = reader_add (context, BR_SCALAR_INT);

  scalar->number = value;
  scalar->real = (double)value;
  return 1;
}

static int
on_double (void *context, double value)
{
  reader_add (context, BR_SCALAR_REAL)->real = value;
  return 1;
}

static int
on_string (void *context, const unsigned char *data, size_t len)
{
  reader_add (context, BR_SCALAR_STRING)->text
      = br_str_dup (br_str_make ((const char *)data, len));
  return 1;
}

static int
reader_open (reader_t *reader, bool is_array)
{
  reader_begin_value (reader);
  if (reader->depth == DEPTH_MAX)
    {
      reader_fault (reader, reader_line (reader), reader->display_path.data,
                    "nested too deeply");
      return 0;
    }
  reader->levels[reader->depth++] = (level_t){
    .is_array = is_array,
    .path_len = reader->path.len,
    .display_path_len = reader->display_path.len,
  };
  return 1;
}

static int
on_close (void *context)
{
  reader_t *reader = context;
  level_t *level = &reader->levels[--reader->depth];

  buf_cut (&reader->path, level->path_len);
  buf_cut (&reader->display_path, level->display_path_len);
  return 1;
}

static int
on_start_map (void *context)
{
  return reader_open (context, false);
}

static int
on_start_array (void *context)
{
  return reader_open (context, true);
}

static int
on_map_key (void *context, const unsigned char *data, size_t len)
{
  reader_t *reader = context;
  level_t *level = &reader->levels[reader->depth - 1];
  const char *dot = level->path_len > 0 ? "." : "";

  buf_cut (&reader->path, level->path_len);
  buf_cut (&reader->display_path, level->display_path_len);
  br_buf_printf (&reader->path, "%s%.*s", dot, (int)len, data);
  br_buf_printf (&reader->display_path, "%s%.*s", dot, (int)len, data);
  return 1;
}

static const yajl_callbacks reader_callbacks = {
  .yajl_null = on_null,
  .yajl_boolean = on_boolean,
  .yajl_integer = on_integer,
  .yajl_double = on_double,
  .yajl_string = on_string,
  .yajl_start_map = on_start_map,
  .yajl_map_key = on_map_key,
  .yajl_end_map = on_close,
  .yajl_start_array = on_start_array,
  .yajl_end_array = on_close,
};

static bool
reader_parse (reader_t *reader)
{
  const unsigned char *text = (const unsigned char *)reader->text.data;
  yajl_status status;

  reader->handle = yajl_alloc (&reader_callbacks, NULL, reader);
  yajl_config (reader->handle, yajl_allow_comments, 1);
  status = yajl_parse (reader->handle, text, reader->text.len);
  if (status == yajl_status_ok)
    status = yajl_complete_parse (reader->handle);
  if (status != yajl_status_ok)
    {
      unsigned char *why
          = yajl_get_error (reader->handle, 0, text, reader->text.len);
      char *end = strchr ((char *)why, '\n');

      if (end != NULL)
        *end = '\0';
      reader_fault (reader, reader_line (reader), "syntax", (const char *)why);
      yajl_free_error (reader->handle, why);
    }
  yajl_free (reader->handle);
  return status == yajl_status_ok;
}

bool
br_settings_file_read (br_settings_file_t *file, br_str_t text)
{
  reader_t reader = { .file = file, .text = text };
  bool ok;

  file->last_line = 1;
  br_buf_reserve (&reader.path, PATH_RESERVE_BYTES);
  br_buf_reserve (&reader.display_path, PATH_RESERVE_BYTES);
  br_buf_clear (&reader.path);
  br_buf_clear (&reader.display_path);
  ok = reader_parse (&reader);
  br_buf_free (&reader.path);
  br_buf_free (&reader.display_path);
  return ok;
}

void
br_settings_file_release (br_settings_file_t *file)
{
  for (size_t i = 0; i < file->scalars.len; i++)
    {
      free (file->scalars.items[i].path);
      free (file->scalars.items[i].display_path);
      free (file->scalars.items[i].text);
    }
  br_scalars_free (&file->scalars);
}
