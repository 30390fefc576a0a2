#include "state/declaration_text.h"

#include <stdio.h>
#include <string.h>
#include <yajl/yajl_gen.h>
#include <yajl/yajl_parse.h>

#define DEPTH_MAX 8

BR_VEC (keys, char *);

typedef struct
{
  br_str_t text;
  yajl_handle handle;
  yajl_gen gen; /* of the current declaration, or NULL */
  br_declaration_texts_t *texts;
  br_error_t *err;
  bool failed;
  bool ended;     /* the whole text was read */
  int depth;      /* open objects and arrays */
  int base_depth; /* depth outside the declaration: 0, or 1 in a list */
  int line;
  keys_t keys[DEPTH_MAX + 2]; /* of the open objects, by depth; owned */
} reader_t;

static int
reader_line (const reader_t *reader)
{
  size_t offset = reader->ended ? reader->text.len
                                : yajl_get_bytes_consumed (reader->handle);
  int line = 1;

  for (size_t i = 0; i < BR_MIN (offset, reader->text.len); i++)
    if (reader->text.data[i] == '\n')
      line++;
  return line;
}

static int
reader_fail (reader_t *reader, int line, const char *what)
{
  if (!reader->failed)
    br_error_set (reader->err, BR_ERROR_INVALID, "read declarations", "",
                  "line %d: %s", line, what);
  reader->failed = true;
  return 0;
}

static void
reader_clear_keys (keys_t *keys)
{
  for (size_t i = 0; i < keys->len; i++)
    free (keys->items[i]);
  keys_clear (keys);
}

/* Returns whether a declaration is open.  Outside of one, only the list that
 * holds the declarations is allowed. */
static bool
reader_in_declaration (const reader_t *reader)
{
  return reader->gen != NULL;
}

static int
reader_check_value (reader_t *reader)
{
  return reader_in_declaration (reader)
         || reader_fail (reader, reader_line (reader),
                         "expected a declaration (a JSON object)");
}

static int
reader_check_generated (reader_t *reader, yajl_gen_status status)
{
  return status == yajl_gen_status_ok
         || reader_fail (reader, reader_line (reader),
                         "the value cannot be written as JSON");
}

static int
on_null (void *context)
{
  reader_t *reader = context;

  return reader_check_value (reader)
         && reader_check_generated (reader, yajl_gen_null (reader->gen));
}

static int
on_boolean (void *context, int value)
{
  reader_t *reader = context;

  return reader_check_value (reader)
         && reader_check_generated (reader, yajl_gen_bool (reader->gen, value));
}

static int
on_number (void *context, const char *value, size_t len)
{
  reader_t *reader = context;

  return reader_check_value (reader)
         && reader_check_generated (reader,
                                    yajl_gen_number (reader->gen, value, len));
}

static int
on_string (void *context, const unsigned char *value, size_t len)
{
  reader_t *reader = context;

  return reader_check_value (reader)
         && reader_check_generated (reader,
                                    yajl_gen_string (reader->gen, value, len));
}

static int
reader_open (reader_t *reader)
{
  if (reader->depth >= DEPTH_MAX)
    return reader_fail (reader, reader_line (reader), "nested too deep");
  reader->depth++;
  return 1;
}

static int
on_start_map (void *context)
{
  reader_t *reader = context;

  if (!reader_in_declaration (reader))
    {
      reader->line = reader_line (reader);
      reader->base_depth = reader->depth;
      reader->gen = yajl_gen_alloc (NULL);
    }
  return reader_open (reader)
         && reader_check_generated (reader, yajl_gen_map_open (reader->gen));
}

static int
on_map_key (void *context, const unsigned char *key, size_t len)
{
  reader_t *reader = context;
  keys_t *keys = &reader->keys[reader->depth];
  char *copy = br_str_dup (br_str_make ((const char *)key, len));
  char what[128];

  for (size_t i = 0; i < keys->len; i++)
    if (strcmp (keys->items[i], copy) == 0)
      {
        snprintf (what, sizeof what, "%.60s: is given twice", copy);
        free (copy);
        return reader_fail (reader, reader_line (reader), what);
      }
  keys_push (keys, copy);
  return reader_check_generated (reader,
                                 yajl_gen_string (reader->gen, key, len));
}

static void
reader_add_declaration (reader_t *reader)
{
  br_declaration_text_t text = { .line = reader->line };
  const unsigned char *bytes;
  size_t len;

  yajl_gen_get_buf (reader->gen, &bytes, &len);
  br_buf_append (&text.json, br_str_make ((const char *)bytes, len));
  br_declaration_texts_push (reader->texts, text);
  yajl_gen_free (reader->gen);
  reader->gen = NULL;
}

static int
on_end_map (void *context)
{
  reader_t *reader = context;

  reader_clear_keys (&reader->keys[reader->depth]);
  reader->depth--;
  if (!reader_check_generated (reader, yajl_gen_map_close (reader->gen)))
    return 0;
  if (reader->depth == reader->base_depth)
    reader_add_declaration (reader);
  return 1;
}

static int
on_start_array (void *context)
{
  reader_t *reader = context;

  if (!reader_in_declaration (reader))
    return reader->depth == 0
               ? reader_open (reader)
               : reader_fail (reader, reader_line (reader),
                              "expected a declaration (a JSON object)");
  return reader_open (reader)
         && reader_check_generated (reader, yajl_gen_array_open (reader->gen));
}

static int
on_end_array (void *context)
{
  reader_t *reader = context;

  reader->depth--;
  if (!reader_in_declaration (reader))
    return 1;
  return reader_check_generated (reader, yajl_gen_array_close (reader->gen));
}

static const yajl_callbacks reader_callbacks = {
  .yajl_null = on_null,
  .yajl_boolean = on_boolean,
  .yajl_number = on_number,
  .yajl_string = on_string,
  .yajl_start_map = on_start_map,
  .yajl_map_key = on_map_key,
  .yajl_end_map = on_end_map,
  .yajl_start_array = on_start_array,
  .yajl_end_array = on_end_array,
};

static void
reader_fail_syntax (reader_t *reader)
{
  const unsigned char *text = (const unsigned char *)reader->text.data;
  unsigned char *why
      = yajl_get_error (reader->handle, 0, text, reader->text.len);
  int line = reader_line (reader);

  why[strcspn ((char *)why, "\n")] = '\0';
  reader_fail (reader, line, (char *)why);
  yajl_free_error (reader->handle, why);
}

static void
reader_release (reader_t *reader)
{
  for (size_t i = 0; i < BR_N_ELEMENTS (reader->keys); i++)
    {
      reader_clear_keys (&reader->keys[i]);
      keys_free (&reader->keys[i]);
    }
  if (reader->gen != NULL)
    yajl_gen_free (reader->gen);
  yajl_free (reader->handle);
}

bool
br_declaration_texts_parse (br_str_t text,
                            br_declaration_texts_t *texts,
                            br_error_t *err)
{
  reader_t reader = { .text = text, .texts = texts, .err = err };
  yajl_status status;

  *texts = (br_declaration_texts_t){ 0 };
  reader.handle = yajl_alloc (&reader_callbacks, NULL, &reader);
  yajl_config (reader.handle, yajl_allow_comments, 1);
  status
      = yajl_parse (reader.handle, (const unsigned char *)text.data, text.len);
  reader.ended = status == yajl_status_ok;
  if (reader.ended)
    status = yajl_complete_parse (reader.handle);
  if (status != yajl_status_ok)
    reader_fail_syntax (&reader);
  reader_release (&reader);
  if (reader.failed)
    br_declaration_texts_release (texts);
  return !reader.failed;
}

void
br_declaration_texts_release (br_declaration_texts_t *texts)
{
  for (size_t i = 0; i < texts->len; i++)
    br_buf_free (&texts->items[i].json);
  br_declaration_texts_free (texts);
}
