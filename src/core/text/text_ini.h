/* text_ini.h - an INI text as sections and pairs with their positions.

   The library reads each line; this module counts the lines, keeps the
   columns and collects every error, so that one pass names them all.
   Needs: inih (on a buffer), text.h.  */

#ifndef MQ_TEXT_INI_H
#define MQ_TEXT_INI_H

#include "text.h"

/**
 * struct mq_ini_pair - one "key = value" line
 * @key: the key, never empty
 * @value: its value without blanks at both ends and without comments
 * @line: number of its line from 1
 * @column: byte at which the key begins, from 1
 * @value_column: byte at which the value begins, from 1
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
 * struct mq_ini_section - one "[type name]" line and the pairs below it
 * @type: its first word
 * @name: the rest of the header, empty when there is none
 * @line: number of its line from 1
 * @name_column: byte at which the name begins, from 1
 * @pairs: in the order of the text
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
 * struct mq_error_list - errors as they are found
 * @ctx: owner of the items
 * @errors: what has been found, not yet in line order
 */
struct mq_error_list
{
  TALLOC_CTX *ctx;
  struct mq_text_errors *errors;
};

/* A place in a text: line and column from 1.  */
struct mq_text_position
{
  uint32_t line;
  uint32_t column;
};

/* Keeps MQ_TEXT_ERRORS_MAX errors at most; the last then says so.  */
void mq_error_list_add (struct mq_error_list *list, enum mq_error_type type,
                        struct mq_text_position place, const char *subject,
                        const char *allowed);
/* Puts the errors in line order.  */
void mq_error_list_sort (struct mq_error_list *list);

/* The sections of SOURCE below CTX.  Lines that can't be read are left out
   and listed in ERRORS.  NULL when memory is out, or, with an error, when
   SOURCE is too large.  */
struct mq_ini *mq_ini_read (TALLOC_CTX *ctx, const char *source, size_t len,
                            struct mq_error_list *errors);
/* First pair of SECTION with KEY, NULL when there is none.  */
const struct mq_ini_pair *mq_ini_find (const struct mq_ini_section *section,
                                       const char *key);

#endif
