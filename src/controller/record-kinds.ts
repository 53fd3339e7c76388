import { isDecision, isHead, isHistoryEntry, isOverrides } from "../configuration/index.js";
import { readPage } from "../jobs/chunk-page.js";
import { headerError } from "../jobs/job-header.js";
import { isClaim } from "../membership/handover.js";
import { isSummary } from "../part/summary.js";
import { isSliceRecord } from "../quota/slices.js";
import { RecordValidator } from "../state/record-validator.js";
import { parseRestoreRecord } from "../state/restore-state.js";
import { isMap } from "../wire/cbor.js";

const isText = (value: unknown): boolean => typeof value === "string";

/**
 * Creates a validator with all record kinds that the core writes, each with the check of its
 * reader. Packages add their own kinds (`Extension.records`). Records of other kinds are only
 * checked for values that would not survive encoding.
 */
export const coreRecordValidator = (
  refused?: (key: string, why: string) => void,
): RecordValidator =>
  new RecordValidator(refused)
    .add(/^w\/j\//, (value) => headerError(value) === null)
    .add(/^w\/q\//, isSliceRecord)
    .add(/^c\/\d+\/[pm]\//, (value) => readPage(value) !== null)
    .add(/^c\/\d+\/fence$/, (value) => isText(value) && /^\d+\.\d+$/.test(value as string))
    .add(/^w\/s\//, isSummary)
    .add(/^w\/p\//, isClaim)
    .add(/^w\/n\//, isMap)
    .add(/^w\/g\//, (value) => Array.isArray(value) && value.every(isText))
    .add(/^w\/(2\/)?types$/, Array.isArray)
    .add(/^w\/cancels$/, isText)
    .add(/^w\/c\/head$/, isHead)
    .add(/^w\/c\/h\//, isHistoryEntry)
    .add(/^w\/c\/p\//, isOverrides)
    .add(/^w\/d\//, isDecision)
    .add(/^w\/restored$/, (value) => parseRestoreRecord(value) !== null);
