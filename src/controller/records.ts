import { isDecision, isHead, isHistoryEntry, isOverrides } from "../configuration/index.js";
import { headerFault } from "../jobs/header.js";
import { readPage } from "../jobs/page.js";
import { isClaim } from "../membership/handover.js";
import { isSummary } from "../part/summary.js";
import { isSliceRecord } from "../quota/slices.js";
import { parseRestored } from "../state/restored.js";
import { Writable } from "../state/writable.js";
import { isMap } from "../wire/cbor.js";

const isText = (value: unknown): boolean => typeof value === "string";

/**
 * What the core writes, each kind with what reads it. Packages add theirs (`Extension.records`);
 * kinds that are not here are only checked for what no store would give back.
 */
export const coreRecords = (refused?: (key: string, why: string) => void): Writable =>
  new Writable(refused)
    .add(/^w\/j\//, (value) => headerFault(value) === null)
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
    .add(/^w\/restored$/, (value) => parseRestored(value) !== null);
