/** Values, verdicts and errors that every module shares. */
package org.chervillift.api;
