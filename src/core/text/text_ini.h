/* text_ini.h - INI parser with source positions.

   inih parses each line; this module tracks lines and columns and collects
   all errors in one pass.
   Needs: inih (on a buffer), text.h.  */

#ifndef MQ_TEXT_INI_H
#define MQ_TEXT_INI_H

#include "text.h"

/**
 * struct mq_ini_pair - one "key = value" line
 * @key: never empty
 * @value: trimmed, without comments
 * @line: from 1
 * @column: byte offset of the key in the line, from 1
 * @value_column: byte offset of the value in the line, from 1
 */
struct mq_ini_pair
{
  const char *key;
  const char *value;
  uint32_t line;
  uint32_t column;
  uint32_t value_column;
};

/**
 * struct mq_ini_section - a "[type name]" header and its pairs
 * @type: first word of the header
 * @name: rest of the header, may be empty
 * @line: from 1
 * @name_column: byte offset of the name in the line, from 1
 * @pairs: in source order
 */
struct mq_ini_section
{
  const char *type;
  const char *name;
  uint32_t line;
  uint32_t name_column;
  struct mq_ini_pair *pairs;
  size_t pair_count;
};

struct mq_ini
{
  struct mq_ini_section *sections;
  size_t section_count;
};

/**
 * struct mq_error_list - collects errors during parsing
 * @ctx: talloc parent of the items
 * @errors: errors found so far, in any order
 */
struct mq_error_list
{
  TALLOC_CTX *ctx;
  struct mq_text_errors *errors;
};

/* Source position; line and column start at 1.  */
struct mq_text_position
{
  uint32_t line;
  uint32_t column;
};

/* Keeps at most MQ_TEXT_ERRORS_MAX errors; the last one then reports that
   the list is truncated.  */
void mq_error_list_add (struct mq_error_list *list, enum mq_error_type type,
                        struct mq_text_position place, const char *subject,
                        const char *allowed);
void mq_error_list_sort (struct mq_error_list *list);

/* Parses SOURCE; the result is allocated below CTX.  Invalid lines are skipped
   and reported in ERRORS.  Returns NULL when out of memory, or with an error
   if SOURCE is too large.  */
struct mq_ini *mq_ini_read (TALLOC_CTX *ctx, const char *source, size_t len,
                            struct mq_error_list *errors);
/* First pair of SECTION with KEY, NULL if absent.  */
const struct mq_ini_pair *mq_ini_find (const struct mq_ini_section *section,
                                       const char *key);

#endif
