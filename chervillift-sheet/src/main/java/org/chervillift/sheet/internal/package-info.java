/** The steps of reading a sheet: text, table, header, cells, references. */
package org.chervillift.sheet.internal;
